#define BOOST_TEST_MODULE cornelcross
#include <boost/test/unit_test.hpp>
