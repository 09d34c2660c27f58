#include <fulmarjunction/core/object_reader.hpp>
#include <fulmarjunction/rates/share_ledger.hpp>

#include <algorithm>
#include <cmath>

namespace fulmarjunction {

namespace {

constexpr double thousandths_per_token = 1000.0;

/// Maximum rate and burst of a plan, in tokens. Larger values are clamped, so
/// that sums over 256 entries fit in 64 bits.
constexpr double max_plan_amount = 1e9;

/// Maximum rate and burst in one entry, in thousandths of a token.
constexpr std::int64_t max_entry_amount = 1'000'000'000'000;

/// Maximum number of entries in one row. A plan has at most 16 shares, but
/// entries of earlier plans may remain for a while.
constexpr std::size_t max_entries = 256;

constexpr std::size_t max_name_length = 256;

/// Maximum lease: one day, the upper limit of its setting.
constexpr std::int64_t max_lease_ms = 24LL * 3600 * 1000;

/// Tokens of burst per share. With fewer, shares would often hold less than a
/// whole token.
constexpr double burst_per_share = 8;

constexpr std::uint32_t max_shares = 16;

std::int64_t to_thousandths(double amount)
{
    if (!(amount > 0))
        return 0;
    return static_cast<std::int64_t>(
        std::floor(std::min(amount, max_plan_amount) * thousandths_per_token));
}

share_entry read_entry(object_reader& fields)
{
    share_entry entry;
    entry.index =
        static_cast<std::uint32_t>(fields.number("index", max_entries - 1));
    entry.holder = fields.text("holder", max_name_length, 1);
    entry.incarnation = fields.number("incarnation");
    entry.epoch = fields.number("epoch");
    entry.lease = milliseconds(fields.signed_number("lease_ms", max_lease_ms));
    entry.amount.rate = fields.signed_number("rate", max_entry_amount);
    entry.amount.burst = fields.signed_number("burst", max_entry_amount);
    return entry;
}

} // namespace

share_amount lower_of(const share_amount& a, const share_amount& b)
{
    return {std::min(a.rate, b.rate), std::min(a.burst, b.burst)};
}

share_amount operator+(const share_amount& a, const share_amount& b)
{
    return {a.rate + b.rate, a.burst + b.burst};
}

share_amount operator-(const share_amount& a, const share_amount& b)
{
    return {
        std::max<std::int64_t>(0, a.rate - b.rate),
        std::max<std::int64_t>(0, a.burst - b.burst)};
}

bool fits(const share_amount& inner, const share_amount& outer)
{
    return inner.rate <= outer.rate && inner.burst <= outer.burst;
}

share_amount to_amount(const account_plan& plan)
{
    return {to_thousandths(plan.rate), to_thousandths(plan.burst)};
}

std::uint32_t share_count(const account_plan& plan)
{
    const auto whole = to_amount(plan);
    if (whole.rate == 0 || whole.burst < 1000)
        return 0;
    const double shares = static_cast<double>(whole.burst) /
                          thousandths_per_token / burst_per_share;
    return static_cast<std::uint32_t>(
        std::clamp(shares, 1.0, static_cast<double>(max_shares)));
}

share_amount share_of(const account_plan& plan)
{
    const auto count = share_count(plan);
    if (count == 0)
        return {};
    const auto whole = to_amount(plan);
    return {whole.rate / count, whole.burst / count};
}

const share_entry* share_ledger::find(std::uint32_t index) const
{
    for (const auto& entry : shares) {
        if (entry.index == index)
            return &entry;
    }
    return nullptr;
}

share_entry* share_ledger::find(std::uint32_t index)
{
    for (auto& entry : shares) {
        if (entry.index == index)
            return &entry;
    }
    return nullptr;
}

share_amount share_ledger::sum() const
{
    share_amount total;
    for (const auto& entry : shares)
        total = total + entry.amount;
    return total;
}

std::string share_row_key(const client_account& account)
{
    return "shares/" + account;
}

result<share_ledger> parse_share_ledger(const boost::json::value& document)
{
    const std::string step = "parse share ledger";
    object_reader fields(document, step);
    share_ledger ledger;
    for (const auto& element : fields.array("shares", max_entries)) {
        object_reader entry_fields(element, step);
        const auto entry = read_entry(entry_fields);
        BOOST_OUTCOME_TRYV(entry_fields.finish());
        if (!ledger.shares.empty() && ledger.shares.back().index >= entry.index)
            return fail(errc::malformed, step, {}, "index not increasing");
        ledger.shares.push_back(entry);
    }
    BOOST_OUTCOME_TRYV(fields.finish());
    return ledger;
}

boost::json::value to_json(const share_ledger& ledger)
{
    boost::json::array entries;
    for (const auto& entry : ledger.shares) {
        entries.push_back(
            {{"index", entry.index},
             {"holder", entry.holder},
             {"incarnation", entry.incarnation},
             {"epoch", entry.epoch},
             {"lease_ms", entry.lease.count()},
             {"rate", entry.amount.rate},
             {"burst", entry.amount.burst}});
    }
    return {{"shares", std::move(entries)}};
}

} // namespace fulmarjunction
