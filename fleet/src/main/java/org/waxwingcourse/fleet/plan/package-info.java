/** The configuration that operators have declared: routes, services, limits and organisations. */
package org.waxwingcourse.fleet.plan;
