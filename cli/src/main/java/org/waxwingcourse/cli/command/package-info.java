/** The commands of the command-line interface. */
package org.waxwingcourse.cli.command;
