#include <fulmarjunction/mesh/config_copy.hpp>

#include <ctime>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

bool config_copy::offer(service_map_ptr newest)
{
    if (!newest || (current_ && newest->version() <= current_->version()))
        return false;
    current_ = std::move(newest);
    confirmed_at_.reset();
    return true;
}

config_version config_copy::version() const
{
    return current_ ? current_->version() : 0;
}

void config_copy::confirm(config_version version, duration at)
{
    if (!current_ || version != current_->version() || version < newest_known_)
        return;
    confirmed_at_ = std::max(at, confirmed_at_.value_or(at));
}

void config_copy::expect(config_version newer)
{
    newest_known_ = std::max(newest_known_, newer);
}

bool config_copy::is_confirmed(duration now) const
{
    const auto passed = age(now);
    return passed && *passed < max_confirmation_age_;
}

std::optional<duration> config_copy::age(duration now) const
{
    if (!confirmed_at_)
        return std::nullopt;
    return now - *confirmed_at_;
}

duration answer_clock::answered_at(
    duration sent_at, duration store_time, std::uint64_t era)
{
    const auto offset = sent_at - store_time;
    // The clock of a restarted store has another origin.
    const bool has_restarted =
        store_time < last_store_time_ || std::exchange(era_, era) != era;
    if (!offset_ || has_restarted || offset > *offset_)
        offset_ = offset;
    last_store_time_ = store_time;
    return store_time + *offset_;
}

duration suspended_clock_now()
{
    std::timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::seconds(now.tv_sec) +
           std::chrono::nanoseconds(now.tv_nsec);
}

} // namespace fulmarjunction
