/** The life cycle of long-lived objects. */
package org.waxwingcourse.model.service;
