/** Stand-ins for the outside: platform store, host list, model engine and plain service. */
package org.waxwingcourse.standin;
