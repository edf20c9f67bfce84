def after_scenario(context, scenario):
    for process in getattr(context, 'processes', ()):
        process.end()
    demo = getattr(context, 'demo', None)
    if demo is not None and demo.poll() is None:
        demo.kill()
    relay = getattr(context, 'relay', None)
    if relay is not None:
        relay.close()
    deployment = getattr(context, 'deployment', None)
    if deployment is not None:
        deployment.stop()
