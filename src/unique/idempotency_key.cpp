#include <fulmarjunction/unique/idempotency_key.hpp>

#include <sodium.h>

#include <cstring>
#include <limits>
#include <string_view>
#include <vector>

namespace fulmarjunction {

namespace {

/// Identifies the format version of the text.
constexpr std::string_view version_prefix = "fji1_";

constexpr std::size_t tag_bytes = 16;

/// Separates this secret from others derived from the peer secret.
constexpr std::string_view derivation_context =
    "fulmarjunction idempotency key secret v1";

using bytes = std::vector<std::uint8_t>;

void append_number(bytes& out, std::uint64_t value)
{
    for (int shift = 56; shift >= 0; shift -= 8)
        out.push_back(static_cast<std::uint8_t>(value >> shift));
}

void append_name(bytes& out, std::string_view name)
{
    out.push_back(static_cast<std::uint8_t>(name.size()));
    out.insert(out.end(), name.begin(), name.end());
}

/// Reads binary fields in order. After a read past the end or an invalid name
/// every read fails and `at_end` returns false.
class byte_reader
{
public:
    explicit byte_reader(const bytes& data, std::size_t size)
        : data_(data), size_(size)
    {
    }

    std::uint64_t number()
    {
        std::uint64_t value = 0;
        for (int i = 0; i != 8; ++i)
            value = value << 8 | byte();
        return value;
    }

    std::string name()
    {
        const std::size_t length = byte();
        if (length == 0 || length > max_key_name_bytes ||
            size_ - position_ < length) {
            valid_ = false;
            return {};
        }
        const auto* start =
            reinterpret_cast<const char*>(data_.data()) + position_;
        position_ += length;
        return std::string(start, length);
    }

    bool at_end() const { return valid_ && position_ == size_; }

private:
    std::uint8_t byte()
    {
        if (!valid_ || position_ == size_) {
            valid_ = false;
            return 0;
        }
        return data_[position_++];
    }

    const bytes& data_;
    std::size_t size_;
    std::size_t position_ = 0;
    bool valid_ = true;
};

using mac_tag = std::array<std::uint8_t, tag_bytes>;

mac_tag
compute_mac(const bytes& data, std::size_t size, const key_secret& secret)
{
    mac_tag tag{};
    crypto_generichash(
        tag.data(), tag.size(), data.data(), size, secret.bytes.data(),
        secret.bytes.size());
    return tag;
}

std::string encode(const bytes& data)
{
    constexpr int variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
    std::string text(sodium_base64_encoded_len(data.size(), variant), '\0');
    sodium_bin2base64(
        text.data(), text.size(), data.data(), data.size(), variant);
    text.pop_back(); // terminating null character
    return text;
}

bool decode(std::string_view text, bytes& data)
{
    constexpr int variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
    data.resize(text.size());
    std::size_t size = 0;
    const char* end = nullptr;
    const int failed = sodium_base642bin(
        data.data(), data.size(), text.data(), text.size(), nullptr, &size,
        &end, variant);
    data.resize(size);
    return failed == 0 && end == text.data() + text.size();
}

bool is_valid_name(std::string_view name)
{
    return !name.empty() && name.size() <= max_key_name_bytes;
}

auto malformed()
{
    return fail(errc::malformed, "parse idempotency key");
}

} // namespace

key_secret derive_key_secret(std::string_view peer_secret)
{
    // The peer secret may have any length, so it is hashed to a fixed-size key
    // first.
    std::array<std::uint8_t, crypto_generichash_KEYBYTES> root_key{};
    crypto_generichash(
        root_key.data(), root_key.size(),
        reinterpret_cast<const std::uint8_t*>(peer_secret.data()),
        peer_secret.size(), nullptr, 0);
    key_secret secret;
    crypto_generichash(
        secret.bytes.data(), secret.bytes.size(),
        reinterpret_cast<const std::uint8_t*>(derivation_context.data()),
        derivation_context.size(), root_key.data(), root_key.size());
    sodium_memzero(root_key.data(), root_key.size());
    return secret;
}

result<std::string>
format_key(const idempotency_key& key, const key_secret& secret)
{
    if (!is_valid_name(key.issuer) || !is_valid_name(key.account))
        return fail(errc::too_large, "format idempotency key");
    bytes data;
    append_name(data, key.issuer);
    append_number(data, key.incarnation);
    append_number(data, key.sequence);
    append_name(data, key.account);
    append_number(data, static_cast<std::uint64_t>(key.expires_ms));
    const auto tag = compute_mac(data, data.size(), secret);
    data.insert(data.end(), tag.begin(), tag.end());
    return std::string(version_prefix) + encode(data);
}

result<idempotency_key>
parse_key(std::string_view text, const key_secret& secret)
{
    if (text.size() > max_idempotency_key_bytes ||
        text.substr(0, version_prefix.size()) != version_prefix)
        return malformed();
    bytes data;
    if (!decode(text.substr(version_prefix.size()), data) ||
        data.size() <= tag_bytes)
        return malformed();
    const auto size = data.size() - tag_bytes;
    const auto tag = compute_mac(data, size, secret);
    if (sodium_memcmp(tag.data(), data.data() + size, tag_bytes) != 0)
        return fail(errc::unauthorized, "parse idempotency key");
    byte_reader reader(data, size);
    idempotency_key key;
    key.issuer = reader.name();
    key.incarnation = reader.number();
    key.sequence = reader.number();
    key.account = reader.name();
    const auto expires = reader.number();
    if (!reader.at_end() || expires > std::numeric_limits<std::int64_t>::max())
        return malformed();
    key.expires_ms = static_cast<std::int64_t>(expires);
    return key;
}

} // namespace fulmarjunction
