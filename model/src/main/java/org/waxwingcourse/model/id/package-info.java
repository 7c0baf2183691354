/** Value types for identifiers. */
package org.waxwingcourse.model.id;
