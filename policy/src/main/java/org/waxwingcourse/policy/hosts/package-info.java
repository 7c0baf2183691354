/** Which hosts callers are told to use, and how a host leaves without cutting a request. */
package org.waxwingcourse.policy.hosts;
