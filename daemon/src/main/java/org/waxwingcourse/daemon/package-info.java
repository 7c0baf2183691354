/** The node program. */
package org.waxwingcourse.daemon;
