#ifndef POMELOHINGE_TESTS_DRIVERS_COPYING_STORE_HPP
#define POMELOHINGE_TESTS_DRIVERS_COPYING_STORE_HPP

#include "core/name_table.hpp"
#include "tests/drivers/scripted_target.hpp"

#include <chrono>

namespace pomelohinge {

/// When a store sends an answer once more.
enum class copy_time {
    with_answer,
    while_idle,
    after_next_call,
};

template <>
inline constexpr auto name_table<copy_time> = make_name_table<copy_time>({
    {copy_time::with_answer, "with_answer"},
    {copy_time::while_idle, "while_idle"},
    {copy_time::after_next_call, "after_next_call"},
});
static_assert(is_ordered<copy_time>());

/// A store on loopback that keeps its connections open and sends each answer
/// twice.
class copying_store
{
public:
    /// Returns the encoded answer to a call by the method and path of its head.
    using answer_function = std::function<std::string(std::string const& head)>;

    copying_store(copy_time when, answer_function answer)
        : target_([when, answer = std::move(answer)](
                      target_connection& it) { serve(it, when, answer); })
    {
    }

    std::string address() const { return target_.address(); }

    /// Time within which a copy that comes `while_idle` has arrived.
    static constexpr std::chrono::milliseconds idle_time{20};

    static std::string encode(
        int status, std::string const& body, std::string const& headers = {})
    {
        return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
            "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body;
    }

private:
    static void serve(target_connection& it, copy_time when,
        answer_function const& make_answer)
    {
        constexpr std::chrono::milliseconds copy_delay{5};
        std::string last;
        for (auto head = it.read_head(); !head.empty(); head = it.read_head()) {
            if (when == copy_time::after_next_call && !last.empty())
                it.write(last);
            last = make_answer(head);
            it.write(when == copy_time::with_answer ? last + last : last);
            if (when != copy_time::while_idle)
                continue;
            std::this_thread::sleep_for(copy_delay);
            it.write(last);
        }
    }

    scripted_target target_;
};

} // namespace pomelohinge

#endif
