/** The measurements of a load run, as values, as a table and as JSON. */
package org.waxwingcourse.load.report;
