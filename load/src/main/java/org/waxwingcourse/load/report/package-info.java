/** What a load run has measured, as values, as a table and as JSON. */
package org.waxwingcourse.load.report;
