/** Jobs as callers and operators see them: accept, read, list, cancel, results. */
package org.waxwingcourse.batch.job;
