/** The burn rate report: samples of node counters, burn rates, and their table and page. */
package org.waxwingcourse.cli.report;
