/**
 * The operators' declarations: fleet-wide defaults, organisations, engines, services, exceptions.
 */
package org.waxwingcourse.config.declaration;
