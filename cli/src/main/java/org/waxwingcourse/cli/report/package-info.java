/** The report on service-level burn: samples of the nodes' counters, burn rates, table and page. */
package org.waxwingcourse.cli.report;
