/** The operators' command line. */
package org.waxwingcourse.cli;
