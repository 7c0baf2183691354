/** An open-loop load generator. */
package org.waxwingcourse.load;
