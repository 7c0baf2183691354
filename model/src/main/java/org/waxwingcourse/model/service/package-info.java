/** The life cycle that every long-lived object shares. */
package org.waxwingcourse.model.service;
