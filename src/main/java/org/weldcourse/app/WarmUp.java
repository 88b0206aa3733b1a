package org.weldcourse.app;

public final class WarmUp { static void run() { } }
