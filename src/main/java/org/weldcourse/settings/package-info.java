/**
 * The platform's settings file (TOML) and the operators' settings file (XML). Both are read and validated once at
 * startup; an error is reported as an {@link org.weldcourse.settings.InvalidSettingsException} that names the field.
 */
package org.weldcourse.settings;
