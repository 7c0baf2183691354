/** The command-line interface for operators. */
package org.waxwingcourse.cli;
