/**
 * Uploads of input files. Each line is validated, the lines are stored in chunks, and the file's
 * record is stored last.
 */
package org.waxwingcourse.batch.intake;
