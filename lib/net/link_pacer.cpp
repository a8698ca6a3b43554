#include "siskinrack/net/link_pacer.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "await.h"

namespace siskinrack::net {

using std::chrono::steady_clock;

void link_pacer::OnSent(std::size_t bytes) { schedule_.OnSent(bytes, steady_clock::now()); }

void link_pacer::SendPart(std::size_t bytes, bool continues, std::function<void()> send) {
  // A started frame goes first: its link carries no other frame until it is complete.
  parts_.insert(continues ? parts_.begin() : parts_.end(), {bytes, std::move(send)});
  if (!timer_active_) StartNext();
}

void link_pacer::StartNext() {
  while (!parts_.empty()) {
    const auto now = steady_clock::now();
    const auto start = schedule_.NextStart();
    if (start > now) {
      // The event loop owns the timer, because it ends before the pacer.
      auto timer = std::make_shared<boost::asio::steady_timer>(detail::GetCurrentContext(), start);
      timer_active_ = true;
      timer->async_wait([this, timer](const boost::system::error_code& error) {
        timer_active_ = false;
        if (!error) StartNext();
      });
      return;
    }
    const waiting_part part = std::move(parts_.front());
    parts_.pop_front();
    waiting_bytes_ -= part.bytes;
    schedule_.OnSent(part.bytes, now);
    part.send();
  }
}

std::chrono::milliseconds link_pacer::EstimateWait() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      schedule_.EstimateWait(waiting_bytes_, steady_clock::now()));
}

std::chrono::milliseconds link_pacer::EstimateTransfer(std::size_t bytes) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(schedule_.ComputeDuration(bytes));
}

}  // namespace siskinrack::net
