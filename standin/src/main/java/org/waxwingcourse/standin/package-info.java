/** Stand-ins for external systems: platform store, host list, model engine and plain service. */
package org.waxwingcourse.standin;
