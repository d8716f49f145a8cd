#define BOOST_TEST_MODULE cornelcross_processes
#include <boost/test/unit_test.hpp>
