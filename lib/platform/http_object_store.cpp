#include "siskinrack/platform/http_object_store.h"

#include <boost/json.hpp>
#include <charconv>

#include "siskinrack/platform/json_items.h"

namespace siskinrack::platform {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr unsigned kOk = 200;
constexpr unsigned kCreated = 201;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotFound = 404;
constexpr unsigned kPreconditionFailed = 412;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServerError = 500;
/// Upper bound of a Retry-After, so that an excessive one doesn't block the calls of this process
/// for longer.
constexpr std::int64_t kMaxRetryAfterSeconds = 3600;

/// Parses a decimal number, which may be in double quotes as in an ETag. Returns 0 if `text`
/// doesn't begin with a number.
std::uint64_t ParseNumber(std::string_view text) {
  if (text.starts_with('"') && text.ends_with('"') && text.size() >= 2) {
    text = text.substr(1, text.size() - 2);
  }
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

milliseconds ParseRetryAfter(const net::http_response& response) {
  const auto seconds =
      static_cast<std::int64_t>(ParseNumber(net::FindField(response.fields, "Retry-After")));
  return std::chrono::seconds(std::min(seconds, kMaxRetryAfterSeconds));
}

bool IsOk(unsigned status) { return status == kOk || status == kCreated || status == kNoContent; }

store_error ToStoreError(const net::http_response& response) {
  const std::string text = "status " + std::to_string(response.status);
  if (response.status == kNotFound) return {store_errc::kNotFound, text, {}};
  if (response.status == kPreconditionFailed) return {store_errc::kConflict, text, {}};
  if (response.status == kTooManyRequests) {
    return {store_errc::kRateLimited, text, ParseRetryAfter(response)};
  }
  if (response.status >= kServerError) {
    return {store_errc::kUnavailable, text, ParseRetryAfter(response)};
  }
  return {store_errc::kBadAnswer, text, {}};
}

/// Decodes one object of a list. Returns std::nullopt and sets `problem` if that fails.
std::optional<stored_object> DecodeObject(std::string_view text, std::string& problem) {
  const auto decoded = DecodeJson(text, {}, problem);
  if (!decoded) return std::nullopt;
  const json::object* members = decoded->if_object();
  const json::value* name = members == nullptr ? nullptr : members->if_contains("name");
  const json::value* version = members == nullptr ? nullptr : members->if_contains("version");
  const json::value* value = members == nullptr ? nullptr : members->if_contains("value");
  if (name == nullptr || !name->is_string() || value == nullptr || !value->is_string() ||
      version == nullptr || !version->is_int64() || version->get_int64() < 0) {
    problem = "expected an object with a name, a version and a value";
    return std::nullopt;
  }
  return stored_object{std::string(name->get_string()),
                       static_cast<std::uint64_t>(version->get_int64()),
                       std::string(value->get_string())};
}

store_error MakeBadAnswer(const std::string& message) {
  return {store_errc::kBadAnswer, message, {}};
}

std::string MakeObjectTarget(std::string_view name) { return "/objects/" + std::string(name); }

net::http_request MakeConditionalRequest(std::string method, std::string_view name,
                                         std::string value, std::uint64_t expected_version) {
  net::http_request request{std::move(method), MakeObjectTarget(name), {}, std::move(value)};
  if (expected_version == kMustNotExist) {
    request.fields.push_back({"If-None-Match", "*"});
  } else {
    request.fields.push_back({"If-Match", '"' + std::to_string(expected_version) + '"'});
  }
  return request;
}

}  // namespace

std::string_view ToText(store_errc code) {
  switch (code) {
    case store_errc::kUnavailable:
      return "unavailable";
    case store_errc::kRateLimited:
      return "rate_limited";
    case store_errc::kConflict:
      return "conflict";
    case store_errc::kNotFound:
      return "not_found";
    case store_errc::kOutcomeUnknown:
      return "outcome_unknown";
    case store_errc::kHistoryGone:
      return "history_gone";
    case store_errc::kBadAnswer:
      break;
  }
  return "bad_answer";
}

http_object_store::http_object_store(net::fiber_runtime& runtime, const options& settings)
    : client_(runtime, /*max_idle_per_thread=*/4),
      options_(settings),
      budget_(settings.calls_per_second, settings.call_burst) {}

std::variant<net::http_response, store_error> http_object_store::Call(call_class kind,
                                                                      net::http_request request,
                                                                      milliseconds timeout) {
  const auto now = std::chrono::steady_clock::now();
  {
    const std::lock_guard lock(mutex_);
    const milliseconds wait = budget_.Acquire(kind, now);
    if (wait.count() > 0)
      return store_error{store_errc::kUnavailable, std::string(kCallBudgetExhausted), wait};
  }
  ++calls_.at(static_cast<std::size_t>(kind));
  const bool is_write = kind == call_class::kWrite;
  const net::http_result result = client_.Send(options_.address, std::move(request), now + timeout);
  milliseconds retry_after{0};
  if (result.stage == net::exchange_stage::kAnswered)
    retry_after = ParseRetryAfter(result.response);
  RecordOutcome(kind, result, retry_after);
  if (result.stage == net::exchange_stage::kAnswered) {
    if (IsOk(result.response.status)) return result.response;
    return ToStoreError(result.response);
  }
  const bool outcome_unknown = is_write && result.stage == net::exchange_stage::kSent;
  return store_error{
      outcome_unknown ? store_errc::kOutcomeUnknown : store_errc::kUnavailable, result.error, {}};
}

void http_object_store::RecordOutcome(call_class kind, const net::http_result& result,
                                      milliseconds retry_after) {
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard lock(mutex_);
  const double random = std::uniform_real_distribution<double>(0, 1)(random_);
  const bool answered = result.stage == net::exchange_stage::kAnswered;
  if (retry_after.count() > 0) {
    budget_.OnRetryAfter(kind, now, retry_after, random);
  } else if (!answered || result.response.status >= kServerError ||
             result.response.status == kTooManyRequests) {
    budget_.OnFailure(kind, now, random);
  } else {
    budget_.OnSuccess(kind);
  }
}

store_result<stored_object> http_object_store::Get(std::string_view name) {
  auto answer =
      Call(call_class::kRead, {"GET", MakeObjectTarget(name), {}, {}}, options_.call_timeout);
  if (auto* error = std::get_if<store_error>(&answer)) return std::move(*error);
  auto& response = std::get<net::http_response>(answer);
  const std::uint64_t version = ParseNumber(net::FindField(response.fields, "ETag"));
  if (version == 0) return MakeBadAnswer("object response without a valid ETag");
  return stored_object{std::string(name), version, std::move(response.body)};
}

store_result<std::uint64_t> http_object_store::Put(std::string_view name, std::string value,
                                                   std::uint64_t expected_version) {
  auto answer = Call(call_class::kWrite,
                     MakeConditionalRequest("PUT", name, std::move(value), expected_version),
                     options_.call_timeout);
  if (auto* error = std::get_if<store_error>(&answer)) return std::move(*error);
  const std::uint64_t version =
      ParseNumber(net::FindField(std::get<net::http_response>(answer).fields, "ETag"));
  if (version == 0)
    return store_error{store_errc::kOutcomeUnknown, "write response without a valid ETag", {}};
  return version;
}

store_result<std::uint64_t> http_object_store::Delete(std::string_view name,
                                                      std::uint64_t expected_version) {
  auto answer =
      Call(call_class::kWrite, MakeConditionalRequest("DELETE", name, {}, expected_version),
           options_.call_timeout);
  if (auto* error = std::get_if<store_error>(&answer)) return std::move(*error);
  return expected_version;
}

store_result<std::vector<stored_object>> http_object_store::List(std::string_view prefix) {
  auto answer = Call(call_class::kRead, {"GET", "/objects?prefix=" + std::string(prefix), {}, {}},
                     options_.call_timeout);
  if (auto* error = std::get_if<store_error>(&answer)) return std::move(*error);
  const std::string& body = std::get<net::http_response>(answer).body;
  const auto members = SplitJsonObject(body);
  if (!members) return MakeBadAnswer("answer is not a JSON object");
  return DecodeObjects(*members);
}

store_result<watch_result> http_object_store::Watch(std::string_view prefix, std::uint64_t since,
                                                    milliseconds wait) {
  const std::string target = "/watch?prefix=" + std::string(prefix) +
                             "&since=" + std::to_string(since) +
                             "&wait_ms=" + std::to_string(wait.count());
  auto answer = Call(call_class::kWatch, {"GET", target, {}, {}}, wait + options_.call_timeout);
  if (auto* error = std::get_if<store_error>(&answer)) return std::move(*error);
  const std::string& body = std::get<net::http_response>(answer).body;
  const auto members = SplitJsonObject(body);
  if (!members) return MakeBadAnswer("answer is not a JSON object");
  std::string problem;
  const auto revision_text = FindJsonMember(*members, "revision");
  const auto revision = revision_text ? DecodeJson(*revision_text, {}, problem) : std::nullopt;
  if (!revision || !revision->is_int64() || revision->get_int64() < 0) {
    return MakeBadAnswer("watch response without a revision");
  }
  auto objects = DecodeObjects(*members);
  if (auto* error = std::get_if<store_error>(&objects)) return std::move(*error);
  return watch_result{static_cast<std::uint64_t>(revision->get_int64()),
                      std::move(std::get<std::vector<stored_object>>(objects))};
}

store_result<std::vector<stored_object>> http_object_store::DecodeObjects(
    const std::vector<json_member>& members) {
  const auto array = FindJsonMember(members, "objects");
  const auto items = array ? SplitJsonArray(*array) : std::nullopt;
  if (!items) return MakeBadAnswer("response without an array of objects");
  std::vector<stored_object> objects;
  for (const std::string_view item : *items) {
    std::string problem;
    auto object = DecodeObject(item, problem);
    if (object) {
      objects.push_back(std::move(*object));
      continue;
    }
    ++unreadable_;
    if (options_.on_unreadable) options_.on_unreadable(problem);
  }
  return objects;
}

}  // namespace siskinrack::platform
