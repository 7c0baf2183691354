/** Evidence that this host's versions are current, the rosters of holders, and trust in keys. */
package org.waxwingcourse.policy.trust;
