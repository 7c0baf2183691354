/** Uploaded files: each line checked, stored in chunks, and the file's record last. */
package org.waxwingcourse.batch.intake;
