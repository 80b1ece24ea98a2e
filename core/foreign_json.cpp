#include "core/foreign_json.hpp"

#include "core/json_text.hpp"

#include <vector>

namespace pomelohinge {
namespace {

/// Builds a value from the events of the SAX parser.
class foreign_json_builder : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override { return add(nullptr); }
    bool boolean(bool value) override { return add(value); }
    bool number_integer(number_integer_t value) override { return add(value); }
    bool number_unsigned(number_unsigned_t value) override
    {
        return add(value);
    }
    bool number_float(number_float_t value, string_t const&) override
    {
        return add(value);
    }
    bool string(string_t& value) override { return add(std::move(value)); }
    bool binary(binary_t&) override { return false; }
    bool start_object(std::size_t) override
    {
        return open(nlohmann::json::object());
    }
    bool start_array(std::size_t) override
    {
        return open(nlohmann::json::array());
    }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }

    bool key(string_t& value) override
    {
        if (skipped_levels_ == 0)
            key_ = std::move(value);
        return true;
    }

    bool parse_error(std::size_t, std::string const&,
        nlohmann::json::exception const&) override
    {
        return false;
    }

    nlohmann::json take() { return std::move(root_); }

private:
    bool add(nlohmann::json value)
    {
        if (skipped_levels_ == 0)
            add_value(std::move(value));
        return true;
    }

    nlohmann::json& add_value(nlohmann::json value)
    {
        if (open_containers_.empty())
            return root_ = std::move(value);
        auto& parent = *open_containers_.back();
        if (!parent.is_array())
            return parent[key_] = std::move(value);
        parent.push_back(std::move(value));
        return parent.back();
    }

    bool open(nlohmann::json container)
    {
        bool const is_too_deep = open_containers_.size() >= max_json_depth;
        if (is_too_deep) {
            add(nullptr);
            ++skipped_levels_;
        } else {
            open_containers_.push_back(&add_value(std::move(container)));
        }
        return true;
    }

    bool close()
    {
        if (skipped_levels_ > 0)
            --skipped_levels_;
        else
            open_containers_.pop_back();
        return true;
    }

    nlohmann::json root_;
    /// The containers that are not closed yet, outermost first.
    std::vector<nlohmann::json*> open_containers_;
    /// Key of the next value, if the innermost container is an object.
    std::string key_;
    /// Levels that are open below a container that became null.
    std::size_t skipped_levels_ = 0;
};

} // namespace

nlohmann::json parse_foreign_json(std::string_view text)
{
    foreign_json_builder builder;
    bool const is_valid =
        nlohmann::json::sax_parse(text.begin(), text.end(), &builder);
    return is_valid ? builder.take()
                    : nlohmann::json(nlohmann::json::value_t::discarded);
}

} // namespace pomelohinge
