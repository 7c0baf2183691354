/** Versioned documents that every host follows: the operators' configuration and the rosters. */
package org.waxwingcourse.policy.configuration;
