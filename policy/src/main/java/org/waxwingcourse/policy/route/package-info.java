/** Selection of an engine for a request by model, load, cached prefix and health. */
package org.waxwingcourse.policy.route;
