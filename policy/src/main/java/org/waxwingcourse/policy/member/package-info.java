/** Membership by gossip of heartbeats with suspicion (SWIM). */
package org.waxwingcourse.policy.member;
