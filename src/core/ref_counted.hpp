#ifndef BAMBOOHOIST_CORE_REF_COUNTED_HPP
#define BAMBOOHOIST_CORE_REF_COUNTED_HPP

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace bamboohoist {

/// Base class of reference-counted objects that are shared between threads, such as published
/// snapshots.
template <typename Derived>
using ref_counted = boost::intrusive_ref_counter<Derived, boost::thread_safe_counter>;

/// Base class of reference-counted objects that are used on one thread only.
template <typename Derived>
using ref_counted_local = boost::intrusive_ref_counter<Derived, boost::thread_unsafe_counter>;

template <typename Type>
using ref_ptr = boost::intrusive_ptr<Type>;

} // namespace bamboohoist

#endif
