/** The commands. */
package org.waxwingcourse.cli.command;
