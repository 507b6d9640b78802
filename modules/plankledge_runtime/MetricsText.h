#pragma once

#include "plankledge_policy/Counters.h"

#include <fmt/format.h>
#include <string>
#include <string_view>

/** Writes metrics in Prometheus text format. */
namespace plankledge::detail
{

inline void appendGauge (std::string& text, std::string_view name, double value)
{
    text += fmt::format ("# TYPE plankledge_{0} gauge\nplankledge_{0} {1}\n", name, value);
}

inline void appendCounter (std::string& text, std::string_view name, std::uint64_t value)
{
    text += fmt::format ("# TYPE plankledge_{0} counter\nplankledge_{0} {1}\n", name, value);
}

/** Appends a counter with one label value per enumerator. */
template <class Enumeration, Enumeration count>
void appendCounters (std::string& text, std::string_view name,
                     const Counters::By<Enumeration, count>& counters)
{
    text += fmt::format ("# TYPE plankledge_{} counter\n", name);

    for (std::size_t index = 0; index < counters.m_values.size(); ++index)
        text += fmt::format ("plankledge_{}{{reason=\"{}\"}} {}\n", name,
                             nameOf (static_cast<Enumeration> (index)), counters.m_values[index]);
}

} // namespace plankledge::detail
