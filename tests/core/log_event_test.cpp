#include "core/log_event.hpp"

#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <set>
#include <sstream>

namespace pomelohinge {
namespace {

class log_event_test : public testing::Test
{
protected:
    static std::string catalogue_text()
    {
        std::ifstream file(POMELOHINGE_SOURCE_DIR "/docs/EVENTS.md");
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    /// Rows of the catalogue page, `| NUMBER | NAME | LEVEL |`.
    static std::set<std::string> rows_of_page()
    {
        std::set<std::string> rows;
        std::istringstream lines(catalogue_text());
        for (std::string line; std::getline(lines, line);) {
            std::istringstream cells(line);
            std::string bar, number, name, level;
            cells >> bar >> number >> bar >> name >> bar >> level;
            if (!number.empty() && std::isdigit(number.front()))
                rows.insert(number + " " + name + " " + level);
        }
        return rows;
    }
};

TEST_F(log_event_test, catalogue_of_code_and_page_are_the_same)
{
    std::set<std::string> rows;
    for (auto const& it : log_catalogue)
        rows.insert(fmt::format(
            "{} {} {}", it.number, to_name(it.event), to_name(it.level)));
    EXPECT_EQ(rows, rows_of_page());
}

TEST_F(log_event_test, catalogue_rows_stand_in_order_with_numbers_of_their_own)
{
    std::set<int> numbers;
    for (std::size_t it = 0; it < enum_count<log_event>; ++it) {
        EXPECT_EQ(index_of(log_catalogue[it].event), it);
        EXPECT_TRUE(numbers.insert(log_catalogue[it].number).second);
    }
}

} // namespace
} // namespace pomelohinge
