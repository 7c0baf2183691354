/**
 * Selection of the hosts that callers use, and the planned stop of a host without interrupting
 * requests.
 */
package org.waxwingcourse.policy.hosts;
