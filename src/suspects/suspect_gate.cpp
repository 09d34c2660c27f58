#include <fulmarjunction/suspects/suspects.hpp>

#include <algorithm>

namespace fulmarjunction {

bool suspect_gate::offer(std::uint64_t id, time_point now)
{
    if (waiting_.size() >= settings_.max_waiting)
        return false;
    waiting_.push_back({id, now});
    return true;
}

std::optional<std::uint64_t>
suspect_gate::next(std::size_t in_flight, time_point now)
{
    if (running_ || waiting_.empty() || now < open_to_others_until_)
        return std::nullopt;
    // Requests in flight would be lost in a crash, so they get a short time to
    // end. It is limited so that a long download does not delay the suspects.
    if (!closed_since_)
        closed_since_ = now;
    if (in_flight != 0 && now - *closed_since_ < settings_.max_drain)
        return std::nullopt;
    running_ = waiting_.front().id;
    waiting_.pop_front();
    return running_;
}

std::vector<std::uint64_t> suspect_gate::take_expired(time_point now)
{
    std::vector<std::uint64_t> expired;
    while (!waiting_.empty() &&
           now - waiting_.front().since >= settings_.max_wait) {
        expired.push_back(waiting_.front().id);
        waiting_.pop_front();
    }
    if (waiting_.empty() && !running_)
        closed_since_.reset();
    return expired;
}

bool suspect_gate::blocks_others(time_point now) const
{
    if (running_)
        return true;
    return closed_since_ && !waiting_.empty() && now >= open_to_others_until_;
}

void suspect_gate::ended(std::uint64_t id, time_point now)
{
    if (running_ != id) {
        std::erase_if(
            waiting_, [id](const waiting& item) { return item.id == id; });
        if (waiting_.empty() && !running_)
            closed_since_.reset();
        return;
    }
    // Many suspects after one crash must not block other requests all the time.
    const double closed = to_seconds(now - *closed_since_);
    const double open = closed * (1 / settings_.time_share - 1);
    open_to_others_until_ = now + from_seconds(open);
    running_.reset();
    closed_since_.reset();
}

} // namespace fulmarjunction
