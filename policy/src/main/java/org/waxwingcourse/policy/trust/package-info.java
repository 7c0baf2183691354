/**
 * Evidence that this host's versions are current, the roster of holders, and authentication of
 * keys.
 */
package org.waxwingcourse.policy.trust;
