#include "source_fields.hpp"

#include <algorithm>

namespace fulmarjunction::detail {

namespace {

struct open_container
{
    bool is_object = false;
    bool expects_key = false;
    std::string path;
};

class field_scanner
{
public:
    explicit field_scanner(std::string_view text) : text_(text) {}

    std::vector<source_field> scan()
    {
        while (position_ < text_.size())
            scan_token();
        return std::move(fields_);
    }

private:
    void scan_token()
    {
        const char c = text_[position_];
        if (c == '/')
            return skip_comment();
        if (c == '"')
            return read_string();
        if (c == '{' || c == '[')
            containers_.push_back({c == '{', c == '{', path_});
        else if ((c == '}' || c == ']') && !containers_.empty())
            containers_.pop_back();
        else if (c == ',' && !containers_.empty())
            containers_.back().expects_key = containers_.back().is_object;
        ++position_;
    }

    void skip_comment()
    {
        const bool block = text_.substr(position_).starts_with("/*");
        const auto end = text_.find(block ? "*/" : "\n", position_ + 2);
        position_ = end == std::string_view::npos ? text_.size()
                                                  : end + (block ? 2 : 1);
    }

    void read_string()
    {
        const auto start = position_++;
        while (position_ < text_.size() && text_[position_] != '"')
            position_ += text_[position_] == '\\' ? 2 : 1;
        position_ = std::min(position_ + 1, text_.size());
        if (containers_.empty() || !containers_.back().expects_key)
            return;
        containers_.back().expects_key = false;
        const auto name = text_.substr(start + 1, position_ - start - 2);
        path_ = containers_.back().path;
        if (!path_.empty())
            path_ += '.';
        path_ += name;
        fields_.push_back({path_, line_at(text_, start)});
    }

    std::string_view text_;
    std::size_t position_ = 0;
    std::string path_;
    std::vector<open_container> containers_;
    std::vector<source_field> fields_;
};

} // namespace

std::size_t line_at(std::string_view text, std::size_t position)
{
    const auto before = text.substr(0, position);
    return 1 + static_cast<std::size_t>(
                   std::count(before.begin(), before.end(), '\n'));
}

std::vector<source_field> find_source_fields(std::string_view text)
{
    return field_scanner(text).scan();
}

} // namespace fulmarjunction::detail
