#include <fulmarjunction/catalog/catalog.hpp>

#include <fmt/format.h>
#include <xxhash.h>

#include <array>
#include <utility>

namespace fulmarjunction {

namespace {

int hex_value(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

bool is_unreserved(char c)
{
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' ||
           c == '~';
}

// Decodes percent-encoded unreserved characters, which RFC 3986 defines as
// equivalent to the plain ones. Fails for encoded separators.
std::optional<std::string> decode_unreserved(std::string_view path)
{
    std::string decoded;
    decoded.reserve(path.size());
    for (std::size_t i = 0; i < path.size(); ++i) {
        if (path[i] != '%') {
            decoded += path[i];
            continue;
        }
        if (path.size() - i < 3)
            return std::nullopt;
        const int high = hex_value(path[i + 1]);
        const int low = hex_value(path[i + 2]);
        if (high < 0 || low < 0)
            return std::nullopt;
        const char c = static_cast<char>(high * 16 + low);
        if (c == '/' || c == '\\' || c == ';' || c == '\0')
            return std::nullopt;
        if (is_unreserved(c))
            decoded += c;
        else
            decoded += path.substr(i, 3);
        i += 2;
    }
    return decoded;
}

bool is_dot_segment(std::string_view segment)
{
    return segment == "." || segment == "..";
}

// Returns whether a backend server might interpret the path as another one.
bool is_ambiguous(std::string_view path)
{
    std::size_t start = 1;
    for (std::size_t i = 1; i <= path.size(); ++i) {
        const char c = i == path.size() ? '/' : path[i];
        if (c == '\\' || c == ';' || c == '#')
            return true;
        if (c != '/')
            continue;
        const bool last = i == path.size();
        if (is_dot_segment(path.substr(start, i - start)) ||
            (i == start && !last))
            return true;
        start = i + 1;
    }
    return false;
}

constexpr std::string_view key_prefix = "key/";

} // namespace

std::size_t catalog::string_hash::operator()(std::string_view text) const
{
    return XXH3_64bits(text.data(), text.size());
}

result<void> catalog::apply(
    std::string_view row_key, const boost::json::value& value, bool deleted)
{
    if (row_key == "catalog/plans") {
        plan_list list;
        if (!deleted) {
            BOOST_OUTCOME_TRY(list, parse_plan_list(value));
        }
        set_plans(std::move(list));
    } else if (row_key == "catalog/accounts") {
        account_list list;
        if (!deleted) {
            BOOST_OUTCOME_TRY(list, parse_account_list(value));
        }
        set_accounts(std::move(list));
    } else if (row_key.starts_with(key_prefix)) {
        return apply_key(row_key.substr(key_prefix.size()), value, deleted);
    }
    return boost::outcome_v2::success();
}

result<void> catalog::apply_key(
    std::string_view key_id, const boost::json::value& value, bool deleted)
{
    if (deleted) {
        if (const auto found = keys_.find(key_id); found != keys_.end())
            keys_.erase(found);
        return boost::outcome_v2::success();
    }
    BOOST_OUTCOME_TRY(auto record, parse_key_record(value));
    if (record.id != key_id) {
        return fail(
            errc::malformed, "apply key record", {},
            fmt::format("id: \"{}\" in row key/{}", record.id, key_id));
    }
    keys_.insert_or_assign(std::string(key_id), std::move(record));
    return boost::outcome_v2::success();
}

void catalog::set_plans(plan_list plans)
{
    plans_ = std::move(plans);
    plan_by_name_.clear();
    endpoint_by_name_.clear();
    endpoint_by_path_by_method_.clear();
    for (std::size_t i = 0; i != plans_.plans.size(); ++i)
        plan_by_name_.emplace(plans_.plans[i].name, i);
    for (std::size_t i = 0; i != plans_.endpoints.size(); ++i) {
        const auto& endpoint = plans_.endpoints[i];
        endpoint_by_name_.emplace(endpoint.name, i);
        endpoint_by_path_by_method_[endpoint.method].emplace(endpoint.path, i);
    }
}

void catalog::set_accounts(account_list accounts)
{
    accounts_ = std::move(accounts);
    plan_by_account_.clear();
    for (const auto& account : accounts_.accounts)
        plan_by_account_.emplace(account.name, account.plan);
}

const endpoint_definition*
catalog::find_endpoint(std::string_view method, std::string_view target) const
{
    const auto path = target.substr(0, target.find('?'));
    if (path.empty() || path.front() != '/')
        return nullptr;
    if (path.find('%') == std::string_view::npos)
        return is_ambiguous(path) ? nullptr : find_by_path(method, path);
    const auto decoded = decode_unreserved(path);
    if (!decoded || is_ambiguous(*decoded))
        return nullptr;
    return find_by_path(method, *decoded);
}

// Looks up each prefix of whole segments, the longest first.
const endpoint_definition*
catalog::find_by_path(std::string_view method, std::string_view path) const
{
    const auto by_path = endpoint_by_path_by_method_.find(method);
    if (by_path == endpoint_by_path_by_method_.end())
        return nullptr;
    for (;;) {
        const auto found = by_path->second.find(path);
        if (found != by_path->second.end())
            return &plans_.endpoints[found->second];
        if (path == "/")
            return nullptr;
        const auto slash = path.rfind('/');
        path = slash == 0 ? std::string_view("/") : path.substr(0, slash);
    }
}

const endpoint_definition* catalog::find_endpoint(std::string_view name) const
{
    const auto found = endpoint_by_name_.find(name);
    return found == endpoint_by_name_.end() ? nullptr
                                            : &plans_.endpoints[found->second];
}

const plan_definition* catalog::find_plan(const client_account& account) const
{
    const auto name = plan_by_account_.find(account);
    if (name == plan_by_account_.end())
        return nullptr;
    const auto found = plan_by_name_.find(name->second);
    return found == plan_by_name_.end() ? nullptr
                                        : &plans_.plans[found->second];
}

const key_record* catalog::find_key(std::string_view key_id) const
{
    const auto found = keys_.find(key_id);
    if (found == keys_.end() || found->second.withdrawn)
        return nullptr;
    return &found->second;
}

} // namespace fulmarjunction
