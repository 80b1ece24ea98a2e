#ifndef POMELOHINGE_CORE_IDENTIFIERS_HPP
#define POMELOHINGE_CORE_IDENTIFIERS_HPP

#include <compare>
#include <string>
#include <string_view>
#include <utility>

namespace pomelohinge {

/// A strongly typed name: identifiers with different tags do not convert to
/// each other.
template <class Tag>
class identifier
{
public:
    identifier() = default;
    explicit identifier(std::string text) : text_(std::move(text)) {}

    std::string const& text() const { return text_; }
    bool empty() const { return text_.empty(); }

    friend auto operator<=>(identifier const&, identifier const&) = default;

    template <class Hash>
    friend Hash AbslHashValue(Hash state, identifier const& id)
    {
        return Hash::combine(std::move(state), id.text_);
    }

private:
    std::string text_;
};

using vm_id = identifier<struct vm_tag>;
using data_centre_id = identifier<struct data_centre_tag>;
using organisation_id = identifier<struct organisation_tag>;
using service_id = identifier<struct service_tag>;
using target_id = identifier<struct target_tag>;
using route_id = identifier<struct route_tag>;

} // namespace pomelohinge

#endif
