/** Membership by a gossip protocol with suspicion (SWIM). */
package org.waxwingcourse.policy.member;
