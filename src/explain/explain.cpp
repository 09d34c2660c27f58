#include <fulmarjunction/explain/explain.hpp>

#include <fulmarjunction/mesh/call_context.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace fulmarjunction {

namespace {

using log_lines = std::vector<log_line>;

constexpr std::string_view refused_event = "refused";
constexpr std::string_view gate_refused_event = "gate_refused";
constexpr std::string_view retry_event = "retry";

/// Events that report a change of the node's own state or of its view of peers
/// and the store.
constexpr std::array state_events = {
    "started",
    "joined",
    "stopping",
    "reloaded",
    "backend_changed",
    "backend_crashed",
    "config_applied",
    "store_lost",
    "store_regained",
    "peer_lost",
    "peer_found",
    "pressure_raised",
    "ledger_unreachable",
    "config_history_lost"};

/// Maximum number of surrounding lines that are shown, the latest ones.
constexpr std::size_t max_surroundings = 8;

bool is_state_event(const log_line& line)
{
    return std::find(state_events.begin(), state_events.end(), line.event) !=
           state_events.end();
}

bool is_earlier(const log_line& a, const log_line& b)
{
    return a.time < b.time;
}

bool is_final(const log_line& line)
{
    return line.event == refused_event || line.event == "answered" ||
           line.event == "answered_late";
}

const log_line* last_of(const log_lines& lines, std::string_view event)
{
    const auto found =
        std::find_if(lines.rbegin(), lines.rend(), [&](const log_line& line) {
            return line.event == event;
        });
    return found == lines.rend() ? nullptr : &*found;
}

/// Describes why the node beside a backend server returned no answer from it.
std::string gate_reason(const log_line& line)
{
    const auto reason = parse_node_refusal(line.field("reason"));
    const auto node = fmt::format("the node {}", line.source);
    if (reason == node_refusal::overloaded) {
        return fmt::format(
            "{} had {} of {} slots in use and {} requests waiting", node,
            line.field("running"), line.field("limit"), line.field("waiting"));
    }
    const auto detail = line.field("detail");
    return fmt::format(
        "{} reported {}{}{}", node, line.field("reason"),
        detail.empty() ? "" : ": ", detail);
}

/// Describes how the attempts of a request ended.
std::string describe_attempts(const log_lines& lines)
{
    std::string text;
    for (const auto& line : lines) {
        if (line.event != gate_refused_event)
            continue;
        text += text.empty() ? "" : "; ";
        text += gate_reason(line);
    }
    if (!text.empty())
        return text;
    const auto* retry = last_of(lines, retry_event);
    if (retry == nullptr)
        return "no node beside a backend server logged a line for it";
    return fmt::format(
        "the attempt at {} ended with {} {}", retry->field("instance"),
        retry->field("reason"), retry->field("detail"));
}

/// Describes the reason of a refusal, with the values that led to it.
std::string describe_reason(const log_line& line, const log_lines& lines)
{
    const auto reason = parse_node_refusal(line.field("reason"));
    if (!reason)
        return fmt::format("for the reason {}", line.field("reason"));
    switch (*reason) {
    case node_refusal::no_configuration:
        return "because the node had read no configuration yet";
    case node_refusal::unconfirmed_configuration:
        return fmt::format(
            "because the node had last confirmed its configuration {} {} ms "
            "before and so trusted no key",
            line.field("config"), line.field("config_age_ms"));
    case node_refusal::key_missing:
        return "because it had no key on a route that requires one";
    case node_refusal::key_unknown:
        return fmt::format(
            "because configuration {} holds no such key", line.field("config"));
    case node_refusal::no_route:
        return fmt::format(
            "because configuration {} has no route for its host and path",
            line.field("config"));
    case node_refusal::bad_request:
    case node_refusal::head_too_large:
    case node_refusal::body_too_large:
        return fmt::format(
            "because it was malformed or too large ({})", line.field("reason"));
    case node_refusal::over_rate:
        return "because its account had used up its rate";
    case node_refusal::no_ledger:
        return "because the ledger of its account's rate did not answer";
    case node_refusal::throttled:
        return "because its service had just refused most of the requests of "
               "this node, which sent none of the excess";
    case node_refusal::overloaded_below:
        return "because a downstream service has no free capacity";
    case node_refusal::no_backend:
    case node_refusal::draining:
    case node_refusal::other_backend:
        return "because no backend server of the service was left to try: " +
               describe_attempts(lines);
    case node_refusal::stopping:
        return "because the node was about to stop and could have ended before "
               "the request";
    case node_refusal::overloaded:
        return "because no backend server that was tried had a free slot in "
               "time: " +
               describe_attempts(lines);
    case node_refusal::turned_away:
        return "because the backend server rejected it without running it: " +
               describe_attempts(lines);
    case node_refusal::too_late:
        return "because its deadline expired before it could run: " +
               describe_attempts(lines);
    case node_refusal::timeout:
        return "because its deadline expired while it ran: " +
               describe_attempts(lines);
    case node_refusal::broken:
        return "because the connection broke after it was sent: " +
               describe_attempts(lines);
    case node_refusal::backend_crashed:
        return "because the backend server crashed while it ran: " +
               describe_attempts(lines);
    case node_refusal::suspect_request:
        return "because backend servers crashed while they ran requests equal "
               "to it: " +
               describe_attempts(lines);
    case node_refusal::bad_answer:
        return "because the backend server's answer was not valid: " +
               describe_attempts(lines);
    case node_refusal::canceled:
        return "because its caller had disconnected";
    }
    return {};
}

std::string describe_refusal(const log_line& line, const log_lines& lines)
{
    auto text = fmt::format(
        "Refused with status {} by {} {}", line.field("status"), line.source,
        describe_reason(line, lines));
    text += line.field("not_run") == "true" ? "; it has not run"
                                            : "; it may have run";
    const auto retry_after = line.field("retry_after_ms");
    if (!retry_after.empty() && retry_after != "-1")
        text +=
            fmt::format(", and the caller may retry after {} ms", retry_after);
    return text + ".";
}

std::string describe_answer(const log_line& line, const log_lines& lines)
{
    const auto attempts =
        std::count_if(lines.begin(), lines.end(), [](const log_line& attempt) {
            return attempt.event == retry_event;
        });
    return fmt::format(
        "Answered by a backend server with status {} through {} after {} ms, "
        "{}, with {} failed attempts before.",
        line.field("status"), line.source, line.field("ms"),
        line.event == "answered" ? "within the objective of its route"
                                 : "later than the objective of its route",
        attempts);
}

std::string describe(const log_line* final_line, const log_lines& lines)
{
    if (lines.empty())
        return "No line names this request: it reached none of these nodes, or "
               "its lines were dropped (see lines_left_out).";
    if (final_line == nullptr) {
        return fmt::format(
            "No node logged its outcome; the last line is {} of {}.",
            lines.back().event, lines.back().source);
    }
    if (final_line->event == refused_event)
        return describe_refusal(*final_line, lines);
    return describe_answer(*final_line, lines);
}

/// Returns the latest state events that the deciding node logged up to its
/// decision.
log_lines find_surroundings(const log_line& final_line, const log_lines& log)
{
    log_lines found;
    std::copy_if(
        log.begin(), log.end(), std::back_inserter(found),
        [&](const log_line& line) {
            return line.source == final_line.source && is_state_event(line) &&
                   line.time <= final_line.time;
        });
    std::stable_sort(found.begin(), found.end(), is_earlier);
    if (found.size() > max_surroundings) {
        const auto extra = found.size() - max_surroundings;
        found.erase(
            found.begin(), found.begin() + static_cast<std::ptrdiff_t>(extra));
    }
    return found;
}

} // namespace

explanation
explain_request(std::string_view request_id, std::vector<log_line> log)
{
    explanation result;
    std::copy_if(
        log.begin(), log.end(), std::back_inserter(result.lines),
        [&](const log_line& line) {
            return line.field("request") == request_id;
        });
    std::stable_sort(result.lines.begin(), result.lines.end(), is_earlier);
    const auto final_line =
        std::find_if(result.lines.rbegin(), result.lines.rend(), is_final);
    const bool has_final_line = final_line != result.lines.rend();
    result.sentence =
        describe(has_final_line ? &*final_line : nullptr, result.lines);
    if (has_final_line)
        result.surroundings = find_surroundings(*final_line, log);
    return result;
}

} // namespace fulmarjunction
