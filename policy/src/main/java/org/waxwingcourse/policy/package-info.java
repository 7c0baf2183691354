/** Decision logic without input or output; clocks and random sources are injected. */
package org.waxwingcourse.policy;
