/**
 * Versioned documents that are replicated to every host: the operators' configuration and the
 * roster.
 */
package org.waxwingcourse.policy.configuration;
