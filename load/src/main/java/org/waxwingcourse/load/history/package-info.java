/** Checks recorded histories of admissions, independently of the code that admitted them. */
package org.waxwingcourse.load.history;
