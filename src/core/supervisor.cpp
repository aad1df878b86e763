#include "core/supervisor.hpp"

#include <algorithm>

namespace bamboohoist {

const supervisor::strategy_function supervisor::strategies[] = {
    &supervisor::restart_one,
    &supervisor::restart_rest,
    &supervisor::restart_all,
};

supervisor::supervisor(std::string name, restart_strategy strategy, restart_intensity intensity,
                       const clock_source& clock)
    : name_(std::move(name)), strategy_(strategy), intensity_(intensity), clock_(clock)
{
}

void supervisor::add(child& member)
{
    children_.push_back(&member);
}

std::string_view supervisor::name() const
{
    return name_;
}

bool supervisor::start()
{
    return start_from(0);
}

void supervisor::stop()
{
    stop_from(0);
}

bool supervisor::handle_child_failure(child& failed)
{
    const auto found = std::ranges::find(children_, &failed);
    if (found == children_.end())
    {
        return false;
    }
    if (!try_record_restart())
    {
        stop();
        return false;
    }
    ++restart_count_;
    const auto index = static_cast<std::size_t>(found - children_.begin());
    const strategy_function restart = strategies[static_cast<std::size_t>(strategy_)];
    return (this->*restart)(index);
}

std::size_t supervisor::restart_count() const
{
    return restart_count_;
}

bool supervisor::restart_one(std::size_t index)
{
    children_[index]->stop();
    return children_[index]->start();
}

bool supervisor::restart_rest(std::size_t index)
{
    return restart_from(index);
}

bool supervisor::restart_all(std::size_t)
{
    return restart_from(0);
}

bool supervisor::restart_from(std::size_t first)
{
    stop_from(first);
    return start_from(first);
}

bool supervisor::start_from(std::size_t first)
{
    for (std::size_t i = first; i < children_.size(); ++i)
    {
        if (!children_[i]->start())
        {
            for (std::size_t started = i; started > 0; --started)
            {
                children_[started - 1]->stop();
            }
            return false;
        }
    }
    return true;
}

void supervisor::stop_from(std::size_t first)
{
    for (std::size_t i = children_.size(); i > first; --i)
    {
        children_[i - 1]->stop();
    }
}

bool supervisor::try_record_restart()
{
    const instant now = clock_.now();
    while (!recent_restarts_.empty() && now - recent_restarts_.front() > intensity_.period_)
    {
        recent_restarts_.pop_front();
    }
    if (recent_restarts_.size() >= intensity_.restarts_)
    {
        return false;
    }
    recent_restarts_.push_back(now);
    return true;
}

} // namespace bamboohoist
