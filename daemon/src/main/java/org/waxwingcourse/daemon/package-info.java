/** The main program of a node. */
package org.waxwingcourse.daemon;
