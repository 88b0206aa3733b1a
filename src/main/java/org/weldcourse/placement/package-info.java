/** Which machines the tasks of a job may run on, apart from free room: asked by admission and by the fleet alike. */
package org.weldcourse.placement;
