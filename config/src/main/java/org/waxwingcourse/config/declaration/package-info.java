/** The operators' declarations: fleet-wide defaults, what there is, and the exceptions. */
package org.waxwingcourse.config.declaration;
