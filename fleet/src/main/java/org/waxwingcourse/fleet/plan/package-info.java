/** What operators have declared: routes, services, limits and organisations, as values. */
package org.waxwingcourse.fleet.plan;
